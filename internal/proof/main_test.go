package proof

import (
	"os"
	"runtime/debug"
	"testing"
)

// TestMain trades memory for time: a world is short-lived garbage.
func TestMain(m *testing.M) {
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}
