package workers

import (
	"runtime/debug"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// MaxIdle is the maximum number of idle goroutines: enough for three concurrent searches over twenty shards. A
// reused goroutine keeps its grown stack; growing a new one costs more than a job itself.
const MaxIdle = 64

// Pool runs jobs; the zero value retains up to [MaxIdle] idle goroutines.
type Pool struct {
	// OnPanic is called when a job panics, and the pool carries on. When it is nil, a panic ends the process.
	OnPanic func(value any, stack []byte)

	once  sync.Once
	jobs  chan func()
	idle  atomic.Int64
	group errgroup.Group
}

// Go runs the job on an idle goroutine or a new one. It never blocks.
func (p *Pool) Go(job func()) {
	p.once.Do(func() { p.jobs = make(chan func()) })
	select {
	case p.jobs <- job:
	default:
		p.group.Go(func() error { p.work(job); return nil })
	}
}

// Protect runs a job and recovers from a panic, which it passes to onPanic. When onPanic is nil, the panic is not
// recovered.
func Protect(job func(), onPanic func(value any, stack []byte)) {
	if onPanic != nil {
		defer func() {
			if value := recover(); value != nil {
				onPanic(value, debug.Stack())
			}
		}()
	}
	job()
}

func (p *Pool) work(job func()) {
	Protect(job, p.OnPanic)
	for p.idle.Add(1) <= MaxIdle {
		job, open := <-p.jobs
		p.idle.Add(-1)
		if !open {
			return
		}
		Protect(job, p.OnPanic)
	}
	p.idle.Add(-1)
}

// Close stops the idle goroutines and waits for all jobs to end. Go must not be called after Close.
func (p *Pool) Close() {
	p.once.Do(func() { p.jobs = make(chan func()) })
	close(p.jobs)
	_ = p.group.Wait()
}
