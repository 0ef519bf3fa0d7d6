import { ChannelCredentials, Metadata } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { copyFile, mkdir, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { startChild } from "../../harness/childProcess.js";
import { createCredentials, NodeClient } from "../../lib/rpc/index.js";

const MAIN = fileURLToPath(new URL("../../main.js", import.meta.url));
const REFRESH_MS = 100;

/** Creates a certificate authority and a certificate for 127.0.0.1 that it has signed. */
async function makeCertificates(directory: string): Promise<void> {
    await mkdir(directory);
    const openssl = (...args: string[]) => execFileSync("openssl", args, { cwd: directory, stdio: "ignore" });
    const key = ["-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1", "-nodes"];
    openssl("req", "-x509", ...key, "-keyout", "ca.key", "-out", "ca.crt", "-subj", "/CN=authority", "-days", "1");
    openssl("req", ...key, "-keyout", "tls.key", "-out", "tls.csr", "-subj", "/CN=process");
    await writeFile(join(directory, "extensions"), "subjectAltName=IP:127.0.0.1\n");
    const signing = ["-CA", "ca.crt", "-CAkey", "ca.key", "-CAcreateserial", "-extfile", "extensions"];
    openssl("x509", "-req", "-in", "tls.csr", ...signing, "-out", "tls.crt", "-days", "1");
}

function tlsSettings(directory: string) {
    return {
        certificateFile: join(directory, "tls.crt"),
        keyFile: join(directory, "tls.key"),
        authorityFile: join(directory, "ca.crt"),
        refreshMs: REFRESH_MS,
    };
}

/** Resolves to whether the process responds to a client with these credentials. */
function responds(address: string, credentials: ChannelCredentials): Promise<boolean> {
    const client = new NodeClient(address, credentials);
    return new Promise(resolve => {
        client.readStatus({}, new Metadata(), { deadline: Date.now() + 1500 }, error => {
            client.close();
            resolve(error === null);
        });
    });
}

// Guards against a process that accepts clients without a certificate from the authority, and against renewed
// certificates that take effect only after a restart.
test("processes authenticate each other and pick up renewed certificates", { timeout: 30_000 }, async () => {
    const directory = await mkdtemp(join(tmpdir(), "endivewell-tls-"));
    const [old, renewed, used] = ["old", "renewed", "used"].map(name => join(directory, name)) as [
        string,
        string,
        string,
    ];
    await Promise.all([makeCertificates(old), makeCertificates(renewed)]);
    await mkdir(used);
    const install = (from: string) =>
        Promise.all(
            ["tls.crt", "tls.key", "ca.crt"].map(file => copyFile(join(from, file), join(used, file))),
        );
    await install(old);
    const unreachableUrl = "http://127.0.0.1:9";
    const settingsFile = join(directory, "agent.json");
    await writeFile(
        settingsFile,
        JSON.stringify({
            process: "runner-0",
            failureDomain: "d",
            region: "r",
            rpc: { port: 0 },
            platform: {
                tableUrl: unreachableUrl,
                weightStoreUrl: unreachableUrl,
                vmListUrl: unreachableUrl,
                weightStoreRegion: "r",
            },
            tls: tlsSettings(used),
            service: "s",
            backendServer: { kind: "plain", url: unreachableUrl },
            weightsPath: join(directory, "weights"),
        }),
    );
    const agent = await startChild({ name: "agent", args: [MAIN, "agent", "--settings", settingsFile] });
    try {
        const address = `127.0.0.1:${(agent.ready as { rpc: number; }).rpc}`;
        const withCertificate = (from: string) => createCredentials(tlsSettings(from)).forConnection();
        const authorityOnly = await readFile(join(old, "ca.crt"));
        assert.equal(await responds(address, withCertificate(old)), true, "a certificate of the authority");
        assert.equal(await responds(address, ChannelCredentials.createSsl(authorityOnly)), false, "no certificate");
        assert.equal(await responds(address, ChannelCredentials.createInsecure()), false, "no TLS");
        assert.equal(await responds(address, withCertificate(renewed)), false, "another authority");
        await install(renewed);
        await sleep(REFRESH_MS * 10);
        assert.equal(await responds(address, withCertificate(renewed)), true, "after the renewal");
        assert.equal(await responds(address, withCertificate(old)), false, "the replaced authority");
    }
    finally {
        await agent.stop(5000);
        await rm(directory, { recursive: true, force: true });
    }
});
