// Package standin is a placeholder until its parts land.
package standin
