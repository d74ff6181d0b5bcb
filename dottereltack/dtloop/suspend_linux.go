package dtloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// hostSuspension returns for how long the host has been suspended since its start, which the steady clock does not count, or
// zero if that is unknown.
func hostSuspension() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano()).Truncate(time.Millisecond)
}
