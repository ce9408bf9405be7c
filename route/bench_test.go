package route

import (
	"testing"
	"time"
)

func BenchmarkAtHand(b *testing.B) {
	bs := newBackends(50, after(0))
	r := bs.router(&testing.T{}, nil)
	s := r.service(svc)
	req := quote("a")
	for i, inst := range bs.insts {
		s.member(inst.ID).ewma = time.Duration(i%7) * time.Millisecond
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g, ok := r.atHand(s, bs.insts, &req, nil)
			if ok {
				g.release()
			}
		}
	})
}
