add_tests(peers gooseberryfall_peers)
