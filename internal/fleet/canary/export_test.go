package canary

// For the tests outside.
var (
	Radius         = radius
	InformationFor = informationFor
)
