// Package bench is a placeholder until its parts land.
package bench
