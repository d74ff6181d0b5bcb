package dtprocess

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process holds at a moment.
type Usage struct {
	ResidentBytes int64
	UnreadBytes   int64 // Received by its sockets, those that it has not accepted among them, and not read.
	Descriptors   int
}

// MemoryBytes returns the resident set and the unread bytes together.
func (u *Usage) MemoryBytes() int64 { return u.ResidentBytes + u.UnreadBytes }

// Read returns what a process holds, which is nothing if the process is gone.
func Read(pid int) Usage {
	sockets, descriptors := openSockets(pid)
	return Usage{ResidentBytes: StatusBytes(pid, "VmRSS:"), UnreadBytes: unreadBytes(pid, sockets), Descriptors: descriptors}
}

// StatusBytes returns a size that the kernel states of a process, as VmRSS: or VmHWM:, or zero if the process is gone.
func StatusBytes(pid int, field string) int64 {
	const kibibyte = 1 << 10
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n * kibibyte
		}
	}
	return 0
}

// IsRunning reports whether a process runs program, and is not a zombie.
func IsRunning(pid int, program string) bool {
	path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid))
	return err == nil && path == program
}

// openSockets returns the inodes of the sockets of a process, and the number of all its descriptors.
func openSockets(pid int) (inodes map[string]bool, descriptors int) {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, _ := os.ReadDir(dir)
	inodes = map[string]bool{}
	for _, e := range entries {
		target, _ := os.Readlink(dir + e.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes, len(entries)
}

// Columns of the kernel's table of TCP sockets, and the state of a listener in it.
const (
	columnLocal    = 1
	columnState    = 3
	columnQueues   = 4
	columnInode    = 9
	tableColumns   = 10
	stateListening = "0A"
	noInode        = "0" // Of a connection that has not been accepted.
)

// unreadBytes returns the bytes in the receive queues of some sockets and of the connections that wait for their listeners.
func unreadBytes(pid int, sockets map[string]bool) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0
	}
	const hexadecimal = 16
	listening := map[string]bool{}
	waiting := map[string]int64{}
	var sum int64
	for line := range strings.Lines(string(text)) {
		columns := strings.Fields(line)
		if len(columns) < tableColumns {
			continue
		}
		_, queue, _ := strings.Cut(columns[columnQueues], ":")
		n, _ := strconv.ParseInt(queue, hexadecimal, 64)
		switch local, inode := columns[columnLocal], columns[columnInode]; {
		case columns[columnState] == stateListening:
			listening[local] = listening[local] || sockets[inode]
		case sockets[inode]:
			sum += n
		case inode == noInode:
			waiting[local] += n
		}
	}
	for local, n := range waiting {
		if listening[local] {
			sum += n
		}
	}
	return sum
}
