add_tests(adapter gooseberryfall_adapter Boost::json)
