package direct

import (
	"fmt"
)

func ExampleDistance_String() {
	fmt.Println(Near, Regional, Far)
	// Output: failure-domain region other-region
}
