// Package entry is a placeholder until its parts land.
package entry
