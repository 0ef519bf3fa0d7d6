/**
 * Credentials between own processes: mutual TLS from the files named in the settings, or none on
 * loopback. Files are read again for each new server or connection, so that renewed certificates are
 * picked up without a restart.
 */
import { ChannelCredentials, ServerCredentials } from "@grpc/grpc-js";
import { readFileSync } from "node:fs";
import type { TlsSettings } from "../settings/index.js";

export interface Credentials {
    forServer(): ServerCredentials;
    forConnection(): ChannelCredentials;
}

export function createCredentials(tls: TlsSettings | undefined): Credentials {
    if (tls === undefined) {
        return {
            forServer: () => ServerCredentials.createInsecure(),
            forConnection: () => ChannelCredentials.createInsecure(),
        };
    }
    const read = () => ({
        authority: readFileSync(tls.authorityFile),
        key: readFileSync(tls.keyFile),
        certificate: readFileSync(tls.certificateFile),
    });

    function forServer(): ServerCredentials {
        const { authority, key, certificate } = read();
        return ServerCredentials.createSsl(authority, [{ private_key: key, cert_chain: certificate }], true);
    }

    function forConnection(): ChannelCredentials {
        const { authority, key, certificate } = read();
        return ChannelCredentials.createSsl(authority, key, certificate);
    }

    return { forServer, forConnection };
}
