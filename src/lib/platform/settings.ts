/** Loads the platform's TOML settings file and translates it into `VmSettings`. Unknown fields are ignored. */
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import VError from "verror";
import * as z from "zod";
import type { VmSettings } from "../settings/vmSettings.js";

const addressSchema = z.string().regex(/^[0-9.]+:\d+$/, "expected an IPv4 address and a port");

const settingsSchema = z.object({
    node: z.string(),
    ip: z.string(),
    zone: z.string(),
    region: z.string(),
    zones: z.record(z.string(), z.string()),
    "internal-ports": z.tuple([z.int(), z.int()]),
    seeds: z.array(z.string()).default([]),
    /** Address of the runner on this VM. */
    app: addressSchema.optional(),
    service: z.string().optional(),
    listen: z.object({ front: addressSchema.optional(), ready: addressSchema.optional() }).default({}),
    limits: z.object({ "link-mbps": z.number().positive() }),
    bounds: z.object({
        "drain-ms": z.number(),
        "grace-s": z.number(),
        "stability-window-ms": z.number().default(0),
        "config-apply-ms": z.number(),
        // The platform spells this field with an underscore, unlike the others.
        version_ms: z.number().default(Number.POSITIVE_INFINITY),
        "retry-budget-ratio": z.number(),
        "retry-budget-slack": z.number(),
        "budget-window-s": z.number(),
        "cold-overshoot": z.number().nonnegative().optional(),
        "cold-slack": z.number().nonnegative().optional(),
    }),
    platform: z.object({ address: addressSchema }),
});

/**
 * Reads the platform's settings file.
 *
 * @throws VError named `SettingsError` if the file can't be read or is invalid; it lists every problem.
 */
export function loadVmSettings(file: string): VmSettings {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        throw new VError({ name: "SettingsError", cause: error as Error }, "%s can't be read", file);
    }
    return parseVmSettings(file, text);
}

/**
 * Parses and validates the text of a settings file; `file` is used in error messages.
 *
 * @throws VError named `SettingsError` that lists every problem.
 */
export function parseVmSettings(file: string, text: string): VmSettings {
    let value: unknown;
    try {
        value = parse(text);
    }
    catch (error) {
        throw new VError({ name: "SettingsError", cause: error as Error }, "%s isn't valid TOML", file);
    }
    const result = settingsSchema.safeParse(value);
    if (!result.success) {
        const problems = result.error.issues.map(issue => `${file}: ${issue.path.join(".")}: ${issue.message}`);
        throw new VError({ name: "SettingsError" }, "%s", problems.join("\n"));
    }
    return translate(result.data);
}

function translate(wire: z.infer<typeof settingsSchema>): VmSettings {
    const { bounds } = wire;
    return {
        name: wire.node,
        ip: wire.ip,
        failureDomain: wire.zone,
        region: wire.region,
        regions: new Map(Object.entries(wire.zones)),
        callerAddress: wire.listen.front,
        readyAddress: wire.listen.ready,
        peerPorts: wire["internal-ports"],
        seeds: wire.seeds.map(seed => seed.split(":")[0] ?? seed),
        backendAddress: wire.app,
        backendService: wire.service,
        storeAddress: wire.platform.address,
        linkMbps: wire.limits["link-mbps"],
        bounds: {
            drainMs: bounds["drain-ms"],
            graceMs: bounds["grace-s"] * 1000,
            stabilityMs: bounds["stability-window-ms"],
            configurationMs: bounds["config-apply-ms"],
            weightsMs: bounds.version_ms,
            retries: {
                ratio: bounds["retry-budget-ratio"],
                slack: bounds["retry-budget-slack"],
                windowMs: bounds["budget-window-s"] * 1000,
            },
            cold: bounds["cold-overshoot"] === undefined ?
                undefined :
                { overshoot: bounds["cold-overshoot"], slack: bounds["cold-slack"] ?? 0 },
        },
    };
}
