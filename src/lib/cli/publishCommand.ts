/** `endivewell publish`: publishes a directory as a version in the weight store. */
import { Args, Flags } from "@oclif/core";
import VError from "verror";
import { createObjectStore } from "../clients/index.js";
import { DEFAULT_CHUNK_BYTES, publishDirectory, type PublishedVersion, type PublishOptions } from "../publish/index.js";
import { ExitCode } from "./exitCode.js";
import { OperatorCommand } from "./operatorCommand.js";

const STORE_TIMEOUT_MS = 30_000;
const BYTES_PER_MB = 1_000_000;

export class PublishCommand extends OperatorCommand {
    static override readonly summary = "Publish a directory of weights as a version and print its root digest.";
    static override readonly description =
        "Chunks that are already in the weight store aren't sent again, so a second run continues an interrupted one.";
    static override readonly examples = [
        "<%= config.bin %> publish ./weights --model repair-desk --store http://192.0.2.10:9000",
        "<%= config.bin %> publish ./weights --model repair-desk --store http://192.0.2.10:9000 --json",
    ];
    static override readonly args = {
        directory: Args.string({ description: "Directory to publish.", required: true }),
    };
    static override readonly flags = {
        model: Flags.string({ summary: "Name of the model.", required: true }),
        store: Flags.string({ summary: "Address of the weight store.", required: true }),
        "chunk-bytes": Flags.integer({ summary: "Size of a chunk in bytes.", default: DEFAULT_CHUNK_BYTES, min: 4096 }),
        "content-defined": Flags.boolean({
            summary: "Share chunks with earlier versions even after bytes were inserted or removed; reading is slower.",
        }),
    };

    async run() {
        const { args, flags } = await this.parse(PublishCommand);
        const version = await this.publish({
            directory: args.directory,
            model: flags.model,
            chunkBytes: flags["chunk-bytes"],
            contentDefined: flags["content-defined"],
            store: createObjectStore({ url: flags.store, timeoutMs: STORE_TIMEOUT_MS }),
            onProgress: ({ bytesRead, bytesTotal }) => {
                if (!process.stderr.isTTY) return;
                process.stderr.write(
                    `\r${(bytesRead / BYTES_PER_MB).toFixed(1)} of ${(bytesTotal / BYTES_PER_MB).toFixed(1)} MB`,
                );
            },
        });
        if (process.stderr.isTTY) process.stderr.write("\n");
        this.log(version.rootDigest);
        return { rootDigest: version.rootDigest, bytesSent: version.bytesSent };
    }

    private async publish(options: PublishOptions): Promise<PublishedVersion> {
        try {
            return await publishDirectory(options);
        }
        catch (error) {
            if (!VError.hasCauseWithName(error as Error, "HttpError")) throw error;
            const info = { exitCode: ExitCode.unreachable };
            const message =
                "the weight store doesn't respond; check --store and run the same command again to continue";
            throw new VError({ name: "PublishError", cause: error as Error, info }, message);
        }
    }
}
