package main

import "fmt"

// printMeans prints a Markdown table of means over consecutive jobs that differ
// only in their seed.
func printMeans(jobs []*job, seeds int) {
	fmt.Println("| shape | case | policy | hit rate | wasted | p50 ms | p95 ms | p99 ms | others' p99 ms | refused |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for ; len(jobs) > 0; jobs = jobs[seeds:] {
		mean := func(f func(*stats) float64) float64 {
			sum := 0.0
			for _, j := range jobs[:seeds] {
				sum += f(j.out)
			}
			return sum / float64(seeds)
		}
		j := jobs[0]
		fmt.Printf("| %s | %s | %s | %.3f | %.2f | %.0f | %.0f | %.0f | %.0f | %.0f |\n", j.shape.Name, j.c.Name, j.policy,
			mean((*stats).hitRate), mean((*stats).wasted),
			mean(func(s *stats) float64 { return s.quantile(0.5) }),
			mean(func(s *stats) float64 { return s.quantile(0.95) }),
			mean(func(s *stats) float64 { return s.quantile(0.99) }),
			mean((*stats).othersP99),
			mean(func(s *stats) float64 { return float64(s.refusals) }))
	}
}
