// Package scenarios is a placeholder until its parts land.
package scenarios
