// Package control answers the calls that steer a stand-in: JSON in and out, and
// 400 with the reason for a wrong value or an unknown field.
package control

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Problem is the answer to a wrong call.
type Problem struct {
	Error string `json:"error"`
}

// Decode reads a JSON body over the values that dst has.
func Decode(c echo.Context, dst any) error {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	return decoder.Decode(dst)
}

// BadRequest answers 400 with the reason.
func BadRequest(c echo.Context, err error) error {
	return c.JSON(http.StatusBadRequest, Problem{Error: err.Error()})
}

// Patch changes the fields of a value that the body names, keeps the rest, and
// answers with what is then in force.
func Patch[T any](c echo.Context, get func() T, set func(T) error) error {
	value := get()
	if err := Decode(c, &value); err != nil {
		return BadRequest(c, err)
	}
	if err := set(value); err != nil {
		return BadRequest(c, err)
	}
	return c.JSON(http.StatusOK, get())
}
