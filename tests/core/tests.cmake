add_tests(core gooseberryfall_core)
