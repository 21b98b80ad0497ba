package direct

import (
	"fmt"
)

func ExampleDistance_String() {
	fmt.Println(SameDomain, SameRegion, OtherRegion)
	// Output: failure-domain region other-region
}
