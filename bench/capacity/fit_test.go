package main

import (
	"math"
	"testing"
)

func TestFitFindsLine(t *testing.T) {
	want := Line{Slope: 3, Intercept: 40}
	var points []Point
	for _, size := range []float64{10, 100, 1000, 10_000} {
		points = append(points, Point{size, want.at(size)})
	}
	got := fit(points)
	if math.Abs(got.Slope-want.Slope) > 1e-9 || math.Abs(got.Intercept-want.Intercept) > 1e-6 {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	if got.worst(points) > 1e-9 {
		t.Fatalf("a point on the line is %v off", got.worst(points))
	}
}

func TestWorstNamesBend(t *testing.T) {
	points := []Point{{10, 10}, {100, 100}, {1000, 100_000}}
	if l := fit(points); l.worst(points) < 0.5 {
		t.Fatalf("a bend is only %v off the line", l.worst(points))
	}
}
