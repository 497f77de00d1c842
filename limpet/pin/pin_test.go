package pin_test

import (
	"slices"
	"testing"
	"time"

	"limpethall.dev/limpet/pin"
)

func TestReconcile(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	cases := []struct {
		name  string
		steps func(c *pin.Claims)
		held  []string
		now   time.Time
		want  []string
	}{
		{"a live program keeps its memory", func(c *pin.Claims) { c.Renew("p", at(0)) }, []string{"p"}, at(9), nil},
		{"an idle program loses it", func(c *pin.Claims) { c.Renew("p", at(0)) }, []string{"p"}, at(10), []string{"p"}},
		{"a renewed one keeps it", func(c *pin.Claims) { c.Renew("p", at(0)); c.Renew("p", at(5)) }, []string{"p"}, at(12), nil},
		{"an ended one loses it at once", func(c *pin.Claims) { c.Renew("p", at(0)); c.Release("p", at(1)) }, []string{"p"}, at(1), []string{"p"}},
		{"an ended one loses it though a late report did not show it", func(c *pin.Claims) {
			c.Renew("p", at(0))
			c.Release("p", at(1))
			c.Reconcile(nil, at(2))
		}, []string{"p"}, at(3), []string{"p"}},
		{"what is held for nobody gets a claim", func(*pin.Claims) {}, []string{"p"}, at(0), nil},
		{"and loses it when nobody renews", func(c *pin.Claims) { c.Reconcile([]string{"p"}, at(0)) }, []string{"p"}, at(10), []string{"p"}},
	}
	for _, c := range cases {
		claims := pin.New(10 * time.Second)
		c.steps(claims)
		if got := claims.Reconcile(c.held, c.now); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v to release, want %v", c.name, got, c.want)
		}
	}
}

func TestClaimsAreForgotten(t *testing.T) {
	claims := pin.New(time.Second)
	claims.Renew("p", time.Unix(0, 0))
	claims.Reconcile(nil, time.Unix(2, 0))
	if got, want := claims.Len(), 0; got != want {
		t.Errorf("claims after their time: got %d, want %d", got, want)
	}
}
