add_tests(http gooseberryfall_http OpenSSL::SSL OpenSSL::Crypto)
