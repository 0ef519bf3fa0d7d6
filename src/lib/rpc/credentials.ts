/**
 * gRPC credentials between the processes of the system: mutual TLS with the files from the settings, or none on
 * loopback. The files are polled, so that new connections use renewed certificates without a restart. Existing
 * connections keep the certificate with which they were established.
 */
import { ChannelCredentials, experimental, ServerCredentials } from "@grpc/grpc-js";
import { readFileSync } from "node:fs";
import VError from "verror";
import type { TlsSettings } from "../settings/index.js";

export interface Credentials {
    forServer(): ServerCredentials;
    forConnection(): ChannelCredentials;
}

/** Creates the credentials. Throws a VError named `SettingsError` if one of the files can't be read. */
export function createCredentials(tls: TlsSettings | undefined): Credentials {
    if (tls === undefined) {
        return {
            forServer: () => ServerCredentials.createInsecure(),
            forConnection: () => ChannelCredentials.createInsecure(),
        };
    }
    [tls.authorityFile, tls.keyFile, tls.certificateFile].forEach(requireReadable);
    const files = new experimental.FileWatcherCertificateProvider({
        certificateFile: tls.certificateFile,
        privateKeyFile: tls.keyFile,
        caCertificateFile: tls.authorityFile,
        refreshIntervalMs: tls.refreshMs,
    });
    return {
        forServer: () => experimental.createCertificateProviderServerCredentials(files, files, true),
        forConnection: () => experimental.createCertificateProviderChannelCredentials(files, files),
    };
}

function requireReadable(file: string): void {
    try {
        readFileSync(file);
    }
    catch (error) {
        throw new VError(
            { name: "SettingsError", cause: error as Error },
            "can't read %s, a file named in the tls settings",
            file,
        );
    }
}
