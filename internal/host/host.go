// Package host reads the limits of the machine and the process.
package host

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"jasmineshed/internal/quota"
)

const (
	memoryFile = "/proc/meminfo"
	// groupFile is the memory limit of the control group at the root of its namespace, as in a container.
	groupFile = "/sys/fs/cgroup/memory.max"
)

// Limits returns the limits of the machine and the process. memory, in bytes, and descriptors go before them unless they
// are 0.
func Limits(memory int64, descriptors int) (quota.Machine, error) {
	m := quota.Machine{Memory: memory, Descriptors: descriptors}
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 && memory == 0 {
		m.RuntimeMemory = limit
	}
	if memory == 0 {
		var err error
		if m.Memory, err = readMemory(memoryFile, groupFile); err != nil {
			return m, err
		}
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return m, fmt.Errorf("limit of descriptors: %w", err)
	}
	if n := min(limit.Cur, math.MaxInt32); descriptors == 0 || n < uint64(descriptors) {
		m.Descriptors = int(n)
	}
	return m, nil
}

// readMemory returns the memory of the machine or of the control group, whichever is less, in bytes.
func readMemory(memoryFile, groupFile string) (int64, error) {
	text, err := os.ReadFile(memoryFile)
	if err != nil {
		return 0, fmt.Errorf("memory of the machine: %w", err)
	}
	var kib int64
	if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kib); err != nil {
		return 0, fmt.Errorf("memory of the machine in %s: %w", memoryFile, err)
	}
	memory := kib << 10
	text, err = os.ReadFile(groupFile)
	if err != nil {
		// There is no control group, or none with a limit.
		return memory, nil
	}
	// The file holds "max" if there is no limit.
	if limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
		memory = min(memory, limit)
	}
	return memory, nil
}
