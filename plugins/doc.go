// Package plugins is a placeholder until its parts land.
package plugins
