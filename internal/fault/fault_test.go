package fault_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/assert"

	"spurhall.example/spurhall/internal/fault"
)

var errFull = errorx.NewNamespace("example").NewType("full").New("the queue is full")

func ExampleBecause() {
	err := fault.Because(errFull, "%d waiting", 12)
	fmt.Println(err)
	fmt.Println(errors.Is(err, errFull))
	// Output:
	// example.full: the queue is full: 12 waiting
	// true
}

// This is why the package exists; if it fails one day, errorx can do it alone.
func TestDecorateHidesItsCause(t *testing.T) {
	assert.False(t, errors.Is(errorx.Decorate(errFull, "12 waiting"), errFull))
}

func TestReason(t *testing.T) {
	inner := fault.Because(errors.New("inner"), "it broke")
	assert.Equal(t, "it broke", fault.Reason(inner))
	assert.Equal(t, "it broke", fault.Reason(fmt.Errorf("wrapped: %w", inner)))
	assert.Equal(t, "plain", fault.Reason(errors.New("plain")))
}
