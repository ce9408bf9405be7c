package route

import (
	"testing"
	"time"
)

func BenchmarkAtHand(b *testing.B) {
	bs := newBackends(50, replyAfter(0))
	r := bs.router(&testing.T{}, nil)
	s := r.service(svc)
	req := idempotentRequest("a")
	for i, inst := range bs.insts {
		s.state(inst.ID).ewma = time.Duration(i%7) * time.Millisecond
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g, ok := r.tryLocalSlot(s, bs.insts, &req, nil)
			if ok {
				g.release()
			}
		}
	})
}
