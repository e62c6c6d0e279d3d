// Package config is a placeholder until its parts land.
package config
