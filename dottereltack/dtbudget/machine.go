package dtbudget

import "syscall"

// maxCount bounds what the operating system states, which may be "unlimited".
const maxCount = 1 << 30

// LimitsOrMachine returns the memory in bytes and the number of descriptors that a process may use: those that its settings
// name, or else those of the operating system; zero if they are unknown.
func LimitsOrMachine(memoryBytes int64, descriptors int) (int64, int) {
	var info syscall.Sysinfo_t
	if memoryBytes == 0 && syscall.Sysinfo(&info) == nil {
		memoryBytes = int64(info.Totalram) * int64(info.Unit) //nolint:gosec // Below the address space.
	}
	var l syscall.Rlimit
	if descriptors == 0 && syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) == nil {
		descriptors = int(min(l.Cur, maxCount)) //nolint:gosec // At most maxCount.
	}
	return memoryBytes, descriptors
}
