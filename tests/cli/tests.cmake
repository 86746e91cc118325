add_tests(cli gooseberryfall_cli)
