/** Client accounts and operators by bearer key. Keys are compared in constant time. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { type Rank } from "../core/index.js";
import { type EntrySettings, readSecret } from "../settings/index.js";

export interface Account {
    readonly client: string;
    readonly defaultRank: Rank;
    readonly highestRank: Rank;
}

export interface Operator {
    readonly name: string;
    readonly role: "viewer" | "operator";
}

export interface Accounts {
    /** Returns the account of a request's bearer key, or `undefined` if there is none. */
    client(request: IncomingMessage): Account | undefined;
    operator(request: IncomingMessage): Operator | undefined;
}

/** Reads the key files. Throws a VError named `SettingsError` if one can't be read. */
export function createAccounts(settings: EntrySettings): Accounts {
    const clients = settings.accounts.map(({ keyFile, ...account }) => ({
        keyHash: hash(readSecret(keyFile)),
        owner: account,
    }));
    const operators = settings.operators.map(({ tokenFile, ...operator }) => ({
        keyHash: hash(readSecret(tokenFile)),
        owner: operator,
    }));
    return {
        client: request => find(clients, request),
        operator: request => find(operators, request),
    };
}

function find<T>(owners: readonly { keyHash: Buffer; owner: T; }[], request: IncomingMessage): T | undefined {
    const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1];
    if (key === undefined) return undefined;
    const keyHash = hash(key);
    return owners.find(owner => timingSafeEqual(owner.keyHash, keyHash))?.owner;
}

/** Hashing gives all keys the same length, which `timingSafeEqual` needs. */
function hash(key: string): Buffer {
    return createHash("sha256").update(key).digest();
}
