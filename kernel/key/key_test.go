package key_test

import (
	"testing"

	"limpethall.dev/kernel/key"
)

// TestFromHeader checks case-insensitive schemes, extra spaces and values without
// a key of the scheme.
func TestFromHeader(t *testing.T) {
	cases := []struct {
		value, want string
		wantFound   bool
	}{
		{"Bearer lh_1_2", "lh_1_2", true},
		{"bearer lh_1_2", "lh_1_2", true},
		{"BEARER   lh_1_2 ", "lh_1_2", true},
		{"Bearerlh_1_2", "", false},
		{"Basic lh_1_2", "", false},
		{"Bearer", "", false},
		{"", "", false},
	}
	for _, c := range cases {
		got, found := key.FromHeader(c.value, "Bearer")
		if got != c.want || found != c.wantFound {
			t.Errorf("%q: got %q, %t, want %q, %t", c.value, got, found, c.want, c.wantFound)
		}
	}
}
