//go:build cgo && linux

package signals_test

import (
	"debug/elf"
	"os"
	"testing"

	_ "limpethall.dev/kernel/signals"
)

// TestSignalsAreSetBeforeConstructors guards against signals that end the process while the
// shared libraries are initialized.
func TestSignalsAreSetBeforeConstructors(t *testing.T) {
	file, err := elf.Open(os.Args[0])
	if err != nil {
		t.Fatalf("open the executable: %v", err)
	}
	defer func() { _ = file.Close() }()
	section := file.Section(".preinit_array")
	if section == nil || section.Type != elf.SHT_PREINIT_ARRAY || section.Size == 0 {
		t.Errorf("functions that run first: got %v, want a section .preinit_array", section)
	}
}
