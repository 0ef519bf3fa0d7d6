/** `endivewell publish`: makes a version of a directory and stores it in the weight store. */
import { Args, Command, Flags } from "@oclif/core";
import { createObjectStore } from "../platform/index.js";
import { DEFAULT_CHUNK_BYTES, publishDirectory } from "../publish/index.js";

const STORE_TIMEOUT_MS = 30_000;
const MB = 1_000_000;

export class PublishCommand extends Command {
    static override readonly summary = "Publish a directory of weights as a version and print its root digest.";
    static override readonly examples = [
        "<%= config.bin %> publish ./weights --model repair-desk --store http://192.0.2.10:9000",
    ];
    static override readonly args = {
        directory: Args.string({ description: "Directory to publish.", required: true }),
    };
    static override readonly flags = {
        model: Flags.string({ summary: "Name of the model.", required: true }),
        store: Flags.string({ summary: "Address of the weight store.", required: true }),
        "chunk-bytes": Flags.integer({ summary: "Size of a chunk.", default: DEFAULT_CHUNK_BYTES, min: 4096 }),
    };
    static override readonly enableJsonFlag = true;

    async run() {
        const { args, flags } = await this.parse(PublishCommand);
        const version = await publishDirectory({
            directory: args.directory,
            model: flags.model,
            chunkBytes: flags["chunk-bytes"],
            store: createObjectStore({ url: flags.store, timeoutMs: STORE_TIMEOUT_MS }),
            onProgress: ({ bytesRead, bytesTotal }) => {
                if (!process.stderr.isTTY) return;
                process.stderr.write(`\r${(bytesRead / MB).toFixed(1)} of ${(bytesTotal / MB).toFixed(1)} MB`);
            },
        });
        this.log(version.rootDigest);
        return { rootDigest: version.rootDigest, bytesSent: version.bytesSent };
    }
}
