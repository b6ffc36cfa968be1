package workerpool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"robincart/internal/testutil"
)

// blockingTask runs until it is released.
type blockingTask struct{ started, release chan struct{} }

func newBlockingTask() *blockingTask {
	return &blockingTask{started: make(chan struct{}, 1), release: make(chan struct{})}
}

func (b *blockingTask) Run() {
	b.started <- struct{}{}
	<-b.release
}

// startTasks runs tasks that are all there at once.
func startTasks(t *testing.T, p *Pool, count int) []*blockingTask {
	tasks := make([]*blockingTask, count)
	for i := range tasks {
		tasks[i] = newBlockingTask()
		p.Do(tasks[i])
	}
	for _, task := range tasks {
		testutil.Receive(t, task.started)
	}
	return tasks
}

// endTasks ends tasks, and waits until so many goroutines are idle.
func endTasks(t *testing.T, p *Pool, tasks []*blockingTask, idle int) {
	for _, task := range tasks {
		close(task.release)
	}
	require.Eventually(t, func() bool { return idleCount(p) == idle }, 20*time.Second, time.Millisecond)
}

func idleCount(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

func TestPool_ReusesGoroutines(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	p := &Pool{}
	endTasks(t, p, startTasks(t, p, 3), 3)
	tasks := startTasks(t, p, 2)
	assert.Equal(t, 1, idleCount(p))
	endTasks(t, p, tasks, 3)
	p.Close()
	goleak.VerifyNone(t, leaks)
}

func TestPool_Trim(t *testing.T) {
	p := &Pool{}
	t.Cleanup(p.Close)
	endTasks(t, p, startTasks(t, p, 5), 5)
	assert.Equal(t, 5, p.Trim(), "all were needed since the pool began")
	endTasks(t, p, startTasks(t, p, 2), 5)
	assert.Equal(t, 2, p.Trim(), "two were needed")
	assert.Equal(t, 0, p.Trim())
	endTasks(t, p, startTasks(t, p, 1), 1)
}

// Close waits for the tasks that run, and their goroutines end.
func TestPool_Close(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	p := &Pool{}
	tasks := startTasks(t, p, 1)
	closed := make(chan struct{})
	go func() {
		p.Close()
		close(closed)
	}()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.closed
	}, 20*time.Second, time.Millisecond)
	select {
	case <-closed:
		assert.Fail(t, "a task still runs")
	default:
	}
	close(tasks[0].release)
	testutil.Receive(t, closed)
	goleak.VerifyNone(t, leaks)
}
