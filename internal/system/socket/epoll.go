package socket

import (
	"errors"

	"golang.org/x/sys/unix"
)

// AwaitEpoll waits until this process can watch descriptors, for some seconds at most. Go's runtime sets its own poller
// up with the first file or timer that needs it, and ends the process if the kernel refuses that. So the start of a
// process tries it first, and waits without a timer.
func AwaitEpoll() error {
	return retryStart(tryEpoll, func() {
		pause := unix.NsecToTimespec(startRetryPause.Nanoseconds())
		unix.Nanosleep(&pause, nil)
	})
}

// tryEpoll makes the system calls that the runtime will make.
func tryEpoll() error {
	poller, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return err
	}
	defer unix.Close(poller)
	event, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return err
	}
	defer unix.Close(event)
	err = unix.EpollCtl(poller, unix.EPOLL_CTL_ADD, event, &unix.EpollEvent{Events: unix.EPOLLIN})
	if errors.Is(err, unix.ENOSYS) || errors.Is(err, unix.EINVAL) {
		return nil // another kernel, or an emulation: the runtime reports what it can't do
	}
	return err
}
