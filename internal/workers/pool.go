package workers

import (
	"runtime/debug"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// DefaultIdle is how many goroutines wait for jobs: three searches over twenty shards at once.
// A goroutine that is used again keeps its grown stack, which costs more to grow than a job itself.
const DefaultIdle = 64

// Pool runs jobs; its zero value keeps DefaultIdle goroutines.
type Pool struct {
	// Panicked is told of a job that panicked, which then ends alone; without it a panic ends the process.
	Panicked func(value any, stack []byte)

	once  sync.Once
	jobs  chan func()
	idle  atomic.Int64
	group errgroup.Group
}

// Go runs the job on a waiting goroutine or a new one; it never blocks.
func (p *Pool) Go(job func()) {
	p.once.Do(func() { p.jobs = make(chan func()) })
	select {
	case p.jobs <- job:
	default:
		p.group.Go(func() error { p.work(job); return nil })
	}
}

// Protect runs a job; panicked, unless it is nil, is told of a panic, which goes no further.
func Protect(job func(), panicked func(value any, stack []byte)) {
	if panicked != nil {
		defer func() {
			if value := recover(); value != nil {
				panicked(value, debug.Stack())
			}
		}()
	}
	job()
}

func (p *Pool) work(job func()) {
	Protect(job, p.Panicked)
	for p.idle.Add(1) <= DefaultIdle {
		job, open := <-p.jobs
		p.idle.Add(-1)
		if !open {
			return
		}
		Protect(job, p.Panicked)
	}
	p.idle.Add(-1)
}

// Close ends the waiting goroutines and returns once all jobs have ended; Go must not be called any more.
func (p *Pool) Close() {
	p.once.Do(func() { p.jobs = make(chan func()) })
	close(p.jobs)
	_ = p.group.Wait()
}
