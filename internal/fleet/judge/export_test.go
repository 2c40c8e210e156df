package judge

// For the tests outside.
var (
	Radius         = radius
	InformationFor = informationFor
)
