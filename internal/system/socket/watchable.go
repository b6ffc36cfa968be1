package socket

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

// AwaitEpoll waits until this process can watch descriptors, or has not been able to for seconds. Go's runtime sets its own poller up with the
// first file or timer that needs it, and ends the process where the kernel refuses that: a start looks first, and waits without a timer.
func AwaitEpoll() error {
	for end := time.Now().Add(listenFor); ; {
		err := tryWatching()
		if k := Classify(err); k != Descriptors && k != Memory || time.Now().After(end) {
			return err
		}
		pause := unix.NsecToTimespec(listenPause.Nanoseconds())
		unix.Nanosleep(&pause, nil)
	}
}

// tryWatching does what the runtime will do.
func tryWatching() error {
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
		return nil // another kernel, or something that stands in for one: the runtime will say what it can't do
	}
	return err
}
