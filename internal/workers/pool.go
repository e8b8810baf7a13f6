package workers

import (
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// DefaultIdle is how many goroutines wait for jobs: three searches over twenty shards at once.
// A goroutine that is used again keeps its grown stack, which costs more to grow than a job itself.
const DefaultIdle = 64

// Pool runs jobs; its zero value keeps DefaultIdle goroutines.
type Pool struct {
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

func (p *Pool) work(job func()) {
	job()
	for p.idle.Add(1) <= DefaultIdle {
		job, open := <-p.jobs
		p.idle.Add(-1)
		if !open {
			return
		}
		job()
	}
	p.idle.Add(-1)
}

// Close ends the waiting goroutines and returns once all jobs have ended; Go must not be called any more.
func (p *Pool) Close() {
	p.once.Do(func() { p.jobs = make(chan func()) })
	close(p.jobs)
	_ = p.group.Wait()
}
