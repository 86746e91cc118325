add_tests(wire gooseberryfall_wire)
