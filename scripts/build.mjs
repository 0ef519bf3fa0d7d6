// Bundles the program into one file. With --binary, also builds the single executable dist/endivewell. With --target,
// builds the bundle that the platform runs, which has no operator commands, into the directory target.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { inject } from "postject";

const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

const isForPlatform = process.argv.includes("--target");
const directory = isForPlatform ? "target" : "dist";

mkdirSync(directory, { recursive: true });
// The Node.js build of rabin-wasm reads its WebAssembly from a file, which a single executable doesn't have. The
// browser build embeds it.
const embedRabin = {
    name: "embed-rabin",
    setup(builder) {
        builder.onResolve({ filter: /rabin-wasm\.node\.js$/ }, ({ path, resolveDir }) => {
            return { path: join(resolveDir, path.replace(".node.js", ".js")) };
        });
    },
};

await build({
    plugins: [embedRabin],
    entryPoints: [isForPlatform ? "src/platformMain.ts" : "src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // The CommonJS builds of some packages load modules dynamically, which the bundler can't resolve.
    mainFields: ["module", "main"],
    outfile: `${directory}/endivewell.cjs`,
    // Optional native add-on of hot-shots, needed for Unix sockets only.
    external: ["unix-dgram"],
    // Node.js keeps the source text of the bundle in memory, so it is minified. Identifiers are kept for stack traces.
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: "warning",
});

if (process.argv.includes("--binary")) {
    const configuration = {
        main: "dist/endivewell.cjs",
        output: "dist/endivewell.blob",
        disableExperimentalSEAWarning: true,
    };
    writeFileSync("dist/sea.json", JSON.stringify(configuration));
    execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "inherit" });
    copyFileSync(process.execPath, "dist/endivewell");
    chmodSync("dist/endivewell", 0o755);
    await inject("dist/endivewell", "NODE_SEA_BLOB", readFileSync("dist/endivewell.blob"), {
        sentinelFuse: SENTINEL_FUSE,
    });
    console.log("built dist/endivewell");
}
