package gate

// ChooseService exposes chooseService to external tests.
var ChooseService = chooseService
