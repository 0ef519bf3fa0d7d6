/**
 * Loader for settings files, which are JSON with comments. Each reported problem gives the file, the line, the path,
 * the expected value and the value found.
 */
import { findNodeAtLocation, parse, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { readFileSync } from "node:fs";
import VError from "verror";
import type * as z from "zod";

export interface SettingsProblem {
    readonly file: string;
    /** Line number, starting at 1. */
    readonly line: number;
    /** Dotted path; empty for the whole file. */
    readonly path: string;
    readonly reason: string;
    /** The value at the path as JSON; `undefined` if there is none or it is an object or an array. */
    readonly found: string | undefined;
}

export type SettingsResult<T> =
    | { readonly kind: "valid"; readonly settings: T; }
    | { readonly kind: "invalid"; readonly problems: readonly SettingsProblem[]; };

/** Length at which a wrong value is truncated in a problem. */
const MAX_FOUND_LENGTH = 80;

/** Validates the text of a settings file against a schema. `file` is used only in problems. */
export function checkSettings<T>(file: string, text: string, schema: z.ZodType<T>): SettingsResult<T> {
    const errors: ParseError[] = [];
    const value: unknown = parse(text, errors, { allowTrailingComma: true });
    if (errors.length > 0) {
        const problems = errors.map(error => ({
            file,
            line: lineAt(text, error.offset),
            path: "",
            reason: printParseErrorCode(error.error),
            found: undefined,
        }));
        return { kind: "invalid", problems };
    }
    const result = schema.safeParse(value);
    if (result.success) return { kind: "valid", settings: result.data };
    return { kind: "invalid", problems: result.error.issues.map(issue => toProblem(file, text, value, issue)) };
}

/**
 * Reads and validates a settings file.
 *
 * @throws VError named `SettingsError` if the file can't be read or is invalid; the message lists every problem.
 */
export function loadSettings<T>(file: string, schema: z.ZodType<T>): T {
    const result = checkSettings(file, readSettingsFile(file), schema);
    if (result.kind === "valid") return result.settings;
    const lines = result.problems.map(formatProblem).join("\n");
    throw new VError({ name: "SettingsError" }, "%s", lines);
}

/** Reads a file. Throws a VError named `SettingsError` if it can't be read. */
export function readSettingsFile(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        throw new VError({ name: "SettingsError", cause: error as Error }, "can't read %s", file);
    }
}

/** Reads a secret from the file that the settings refer to, without surrounding white space. */
export function readSecret(file: string): string {
    return readSettingsFile(file).trim();
}

export function formatProblem(problem: SettingsProblem): string {
    const path = problem.path === "" ? "" : ` ${problem.path}:`;
    const found = problem.found === undefined ? "" : `, found ${problem.found}`;
    return `${problem.file}:${problem.line}:${path} ${problem.reason}${found}`;
}

function toProblem(file: string, text: string, value: unknown, issue: z.core.$ZodIssue): SettingsProblem {
    const path = issue.path.filter(part => typeof part !== "symbol");
    const node = findNearestNode(text, path);
    const found = valueAt(value, path);
    const excerpt = found === undefined ? undefined : JSON.stringify(found).slice(0, MAX_FOUND_LENGTH);
    return {
        file,
        line: lineAt(text, node?.offset ?? 0),
        path: path.join("."),
        reason: issue.message,
        found: typeof found === "object" ? undefined : excerpt,
    };
}

/** Returns the node at the path, or its nearest existing ancestor. */
function findNearestNode(text: string, path: (string | number)[]) {
    const root = parseTree(text, [], { allowTrailingComma: true });
    if (root === undefined) return undefined;
    for (let length = path.length; length >= 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) return node;
    }
    return root;
}

function valueAt(value: unknown, path: readonly (string | number)[]): unknown {
    return path.reduce<unknown>(
        (inner, part) => (inner as Record<string | number, unknown> | undefined)?.[part],
        value,
    );
}

function lineAt(text: string, offset: number): number {
    return text.slice(0, offset).split("\n").length;
}
