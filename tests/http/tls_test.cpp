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

/// A self-signed certificate for 127.0.0.1 and its key in two files, which the destructor removes.
class certificate_files {
public:
    certificate_files()
    {
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"),
                                                                      EVP_PKEY_free);
        const std::unique_ptr<X509, decltype(&X509_free)> x509(X509_new(), X509_free);
        X509_set_version(x509.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(x509.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(x509.get()), -60);
        X509_gmtime_adj(X509_getm_notAfter(x509.get()), 3600);
        X509_set_pubkey(x509.get(), key.get());
        X509_NAME* name = X509_get_subject_name(x509.get());
        const auto* text = reinterpret_cast<const unsigned char*>("test");
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
        X509_set_issuer_name(x509.get(), name);
        add_extension(x509.get(), NID_basic_constraints, "critical,CA:TRUE");
        add_extension(x509.get(), NID_subject_alt_name, "IP:127.0.0.1");
        X509_sign(x509.get(), key.get(), EVP_sha256());
        write(certificate, [&x509](FILE* file) { PEM_write_X509(file, x509.get()); });
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

    static void add_extension(X509* x509, int extension_id, const char* value)
    {
        X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, extension_id, value);
        X509_add_ext(x509, extension, -1);
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

// Guards against unencrypted traffic, certificates that are not verified, and large bodies or early
// disconnects that TLS handles differently from plain TCP.
Test(tls, round_trip_with_checked_certificate)
{
    const certificate_files files;
    const certificate_files untrusted_files;
    http::event_loop loop("test-server");
    http::server_settings settings;
    settings.tls = http::server_tls{files.certificate, files.key_file};
    http::server server(
        loop, settings,
        {[](http::request incoming, const std::shared_ptr<http::responder>& response) {
             response->send({200, {}, std::move(incoming.body)});
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
    const http::call_result untrusted = call({untrusted_files.certificate, {}});
    cr_assert(untrusted.outcome == http::call_outcome::not_sent && !untrusted.sent);
    cr_assert(call({files.certificate, "127.0.0.2"}).outcome == http::call_outcome::not_sent);
    cr_assert(call({"/nonexistent", {}}).outcome == http::call_outcome::not_sent);
    cr_assert(http::call(address, "GET", "/").outcome != http::call_outcome::completed);
}

// Guards against a server that starts without encryption when its certificate or key file cannot be
// loaded.
Test(tls, start_fails_if_the_files_cannot_be_loaded)
{
    http::event_loop loop("test-server");
    http::server_settings settings;
    settings.tls = http::server_tls{"/nonexistent", "/nonexistent"};
    http::server server(loop, settings, {[](const http::request&, const auto&) {}, {}});
    cr_assert(!server.start().has_value());
}
