package shim

import (
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// call is a system call that can be injected into, with errors that its manual page documents and that say nothing of
// the connection itself.
type call struct {
	number  uint64
	errors  []unix.Errno
	hasSize bool // its third argument is a size

	// What it can be injected into. With none of them set it applies to any descriptor, and never to a folder.
	socketsOnly bool // its first argument is a descriptor: it applies to sockets or, with a folder, to files below it
	path        bool // its second argument points to a path: it applies to a folder only
	file        bool // its first argument is a file's descriptor: it applies to a folder only
}

// The errors of calls that have many.
var (
	acceptErrors = []unix.Errno{
		unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.ENETDOWN,
		unix.ENETUNREACH, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.EPERM,
	}
	socketErrors  = []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}
	connectErrors = []unix.Errno{unix.EADDRNOTAVAIL, unix.EAGAIN, unix.ENETUNREACH, unix.ENOBUFS, unix.EPERM}
	readErrors    = []unix.Errno{unix.EINTR, unix.EIO, unix.ENOMEM}
	writeErrors   = []unix.Errno{unix.EINTR, unix.EIO, unix.ENOSPC, unix.ENOBUFS, unix.ENOMEM}
	openErrors    = []unix.Errno{unix.EINTR, unix.EIO, unix.ENOSPC, unix.EMFILE, unix.ENFILE, unix.ENOMEM}
	renameErrors  = []unix.Errno{unix.EIO, unix.ENOSPC, unix.ENOMEM}
	writevErrors  = []unix.Errno{unix.EINTR, unix.ENOBUFS, unix.ENOMEM}
	bufferErrors  = []unix.Errno{unix.ENOBUFS, unix.ENOMEM}
	epollErrors   = []unix.Errno{unix.ENOMEM, unix.ENOSPC}
	pollErrors    = []unix.Errno{unix.EINTR, unix.ENOMEM}
	syncErrors    = []unix.Errno{unix.EIO, unix.ENOSPC}
	interrupted   = []unix.Errno{unix.EINTR}
)

// commonCalls are the calls, by name, that each architecture has. Errors that say that a connection is broken
// are not among theirs: the connection would have to be broken then.
var commonCalls = map[string]call{
	"accept4":     {number: unix.SYS_ACCEPT4, errors: acceptErrors},
	"socket":      {number: unix.SYS_SOCKET, errors: socketErrors},
	"connect":     {number: unix.SYS_CONNECT, errors: connectErrors},
	"setsockopt":  {number: unix.SYS_SETSOCKOPT, errors: bufferErrors, socketsOnly: true},
	"epoll_ctl":   {number: unix.SYS_EPOLL_CTL, errors: epollErrors},
	"epoll_pwait": {number: unix.SYS_EPOLL_PWAIT, errors: interrupted},
	"ppoll":       {number: unix.SYS_PPOLL, errors: pollErrors},
	"recvfrom":    {number: unix.SYS_RECVFROM, errors: pollErrors, hasSize: true, socketsOnly: true},
	"read":        {number: unix.SYS_READ, errors: readErrors, hasSize: true, socketsOnly: true},
	"write":       {number: unix.SYS_WRITE, errors: writeErrors, hasSize: true, socketsOnly: true},
	"writev":      {number: unix.SYS_WRITEV, errors: writevErrors, hasSize: true, socketsOnly: true},
	"openat":      {number: unix.SYS_OPENAT, errors: openErrors, path: true},
	"renameat":    {number: unix.SYS_RENAMEAT, errors: renameErrors, path: true},
	"fsync":       {number: unix.SYS_FSYNC, errors: syncErrors, file: true},
}

// calls are the calls by name that the kernel has on this architecture.
var calls = allCalls()

func allCalls() map[string]call {
	all := maps.Clone(commonCalls)
	maps.Copy(all, architectureCalls)
	return all
}

// NearestCall returns the name of the call that this architecture has in place of the named one. It returns the name
// itself for a call that exists here, and for one that is not known at all.
func NearestCall(name string) string {
	if replacement, missing := replacedCalls[name]; missing {
		return replacement
	}
	return name
}

// checkCall returns an error for the name of a call that can't be injected into on this architecture.
func checkCall(name string) error {
	if _, known := calls[name]; known {
		return nil
	}
	if replacement, missing := replacedCalls[name]; missing {
		return fmt.Errorf("call %q does not exist on %s, the nearest one is %q", name, runtime.GOARCH, replacement)
	}
	return fmt.Errorf("call %q is none of %v", name, slices.Sorted(maps.Keys(calls)))
}

// fileErrors are returned for files only: a socket that returned them would be broken for good.
var fileErrors = []string{"EIO", "ENOSPC"}

func isFileError(name string) bool { return slices.Contains(fileErrors, name) }

// errnos are the errors of all calls by name.
var errnos = errnosByName()

func errnosByName() map[string]unix.Errno {
	byName := map[string]unix.Errno{}
	for _, c := range calls {
		for _, errno := range c.errors {
			byName[unix.ErrnoName(errno)] = errno
		}
	}
	return byName
}

// returns returns whether an error is one of the call's.
func (c call) returns(name string) bool {
	errno, known := errnos[name]
	return known && slices.Contains(c.errors, errno)
}

// filesOnly returns whether the call can be injected into only with a folder.
func (c call) filesOnly() bool { return c.path || c.file }

// appliesTo returns whether a call that a thread has stopped at is on what an injection is for: a socket or, with a
// folder, a file below it.
func (c call) appliesTo(folder string, thread int, regs *registers) bool {
	switch {
	case folder == "" && c.socketsOnly:
		return strings.HasPrefix(descriptorName(thread, regs.argument(0)), "socket:")
	case folder == "":
		return true
	case c.path:
		return isBelow(folder, pathArgument(thread, regs.argument(1)))
	default:
		return isBelow(folder, descriptorName(thread, regs.argument(0)))
	}
}

// isBelow returns whether a path lies below a folder.
func isBelow(folder, path string) bool {
	return strings.HasPrefix(path, strings.TrimSuffix(folder, "/")+"/")
}

// descriptorName is what a thread's descriptor refers to; empty: not known.
func descriptorName(thread int, fd uint64) string {
	name, err := os.Readlink("/proc/" + strconv.Itoa(thread) + "/fd/" + strconv.FormatUint(fd, 10))
	if err != nil {
		return ""
	}
	return name
}

// maxPath is the longest path that the kernel accepts.
const maxPath = 4096

// pathArgument reads the path that an argument points to; empty: it can't be read.
func pathArgument(thread int, address uint64) string {
	memory, err := os.Open("/proc/" + strconv.Itoa(thread) + "/mem")
	if err != nil {
		return ""
	}
	defer memory.Close()
	text := make([]byte, maxPath)
	n, _ := memory.ReadAt(text, int64(address)) // fewer bytes where the path's page is the last one
	path, _, _ := strings.Cut(string(text[:n]), "\x00")
	return path
}
