package main

// Point is one measurement: a value at a size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a straight line: Slope for each unit of size, and Intercept at none.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// fit is the line with the least sum of squared relative errors. Sizes span
// several powers of ten, where absolute errors would weigh the largest alone.
// Values must be above zero and sizes not all alike.
func fit(points []Point) Line {
	var weights, sizes, values, squares, products float64
	for _, p := range points {
		w := 1 / (p.Value * p.Value)
		weights += w
		sizes += w * p.Size
		values += w * p.Value
		squares += w * p.Size * p.Size
		products += w * p.Size * p.Value
	}
	slope := (weights*products - sizes*values) / (weights*squares - sizes*sizes)
	return Line{Slope: slope, Intercept: (values - slope*sizes) / weights}
}

// at is the line's value at a size.
func (l Line) at(size float64) float64 { return l.Intercept + l.Slope*size }

// worst is the largest relative distance of a point from the line.
func (l Line) worst(points []Point) float64 {
	var most float64
	for _, p := range points {
		most = max(most, max(l.at(p.Size)-p.Value, p.Value-l.at(p.Size))/p.Value)
	}
	return most
}
