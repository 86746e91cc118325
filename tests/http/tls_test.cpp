#include "http/http.hpp"

#include <criterion/criterion.h>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <memory>
#include <string>
#include <unistd.h>

namespace http = gooseberryfall::http;

namespace {

/// A self-signed certificate for 127.0.0.1 in two files that are removed at the end.
class certificate_files {
public:
    certificate_files()
    {
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"),
                                                                      EVP_PKEY_free);
        const std::unique_ptr<X509, decltype(&X509_free)> made(X509_new(), X509_free);
        X509_set_version(made.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(made.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(made.get()), -60);
        X509_gmtime_adj(X509_getm_notAfter(made.get()), 3600);
        X509_set_pubkey(made.get(), key.get());
        X509_NAME* name = X509_get_subject_name(made.get());
        const auto* text = reinterpret_cast<const unsigned char*>("test");
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
        X509_set_issuer_name(made.get(), name);
        add_extension(made.get(), NID_basic_constraints, "critical,CA:TRUE");
        add_extension(made.get(), NID_subject_alt_name, "IP:127.0.0.1");
        X509_sign(made.get(), key.get(), EVP_sha256());
        write(certificate, [&made](FILE* file) { PEM_write_X509(file, made.get()); });
        write(key_file, [&key](FILE* file) {
            PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    }
    ~certificate_files()
    {
        std::remove(certificate.c_str());
        std::remove(key_file.c_str());
    }
    certificate_files(const certificate_files&) = delete;
    certificate_files& operator=(const certificate_files&) = delete;
    certificate_files(certificate_files&&) = delete;
    certificate_files& operator=(certificate_files&&) = delete;

    std::string certificate = temporary_name();
    std::string key_file = temporary_name();

private:
    static std::string temporary_name()
    {
        std::string name = "/tmp/gooseberryfall-test-XXXXXX";
        ::close(::mkstemp(name.data()));
        return name;
    }

    static void add_extension(X509* made, int kind, const char* value)
    {
        X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
        X509_add_ext(made, extension, -1);
        X509_EXTENSION_free(extension);
    }

    template <class Writer>
    static void write(const std::string& name, Writer writer)
    {
        FILE* file = std::fopen(name.c_str(), "we");
        writer(file);
        std::fclose(file);
    }
};

} // namespace

// Guards against traffic that is not encrypted, certificates that are not checked, and large bodies
// or early ends that TLS handles in another way than plain TCP.
Test(tls, round_trip_with_checked_certificate)
{
    const certificate_files files;
    const certificate_files others;
    http::event_loop loop("test-server");
    http::server_settings settings;
    settings.tls = http::server_tls{files.certificate, files.key_file};
    http::server server(loop, settings,
                        {[](http::request wanted, const std::shared_ptr<http::responder>& answer) {
                             answer->send({200, {}, std::move(wanted.body)});
                         },
                         {}});
    const std::string address = "127.0.0.1:" + std::to_string(server.start().value());
    const auto call = [&address](const http::client_tls& tls) {
        return http::call(address, "POST", "/", {}, std::string(3U << 20U, 'a'),
                          std::chrono::seconds(10), tls);
    };
    const http::call_result trusted = call({files.certificate, {}});
    cr_assert(trusted.outcome == http::call_outcome::completed, "%s", trusted.reason.c_str());
    cr_assert_eq(trusted.body.size(), 3U << 20U);
    const http::call_result unknown = call({others.certificate, {}});
    cr_assert(unknown.outcome == http::call_outcome::not_sent && !unknown.sent);
    cr_assert(call({files.certificate, "127.0.0.2"}).outcome == http::call_outcome::not_sent);
    cr_assert(call({"/nonexistent", {}}).outcome == http::call_outcome::not_sent);
    cr_assert(http::call(address, "GET", "/").outcome != http::call_outcome::completed);
}

// Guards against a server that starts without encryption when its files cannot be used.
Test(tls, unusable_files_fail_the_start)
{
    http::event_loop loop("test-server");
    http::server_settings settings;
    settings.tls = http::server_tls{"/nonexistent", "/nonexistent"};
    http::server server(loop, settings, {[](const http::request&, const auto&) {}, {}});
    cr_assert(!server.start().has_value());
}
