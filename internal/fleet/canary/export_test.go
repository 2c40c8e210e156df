package canary

// Unexported functions for the tests in package canary_test.
var (
	Radius         = radius
	InformationFor = informationFor
)
