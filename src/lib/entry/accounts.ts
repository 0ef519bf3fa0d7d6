/** Authenticates client accounts and operators by bearer key, comparing keys in constant time. */
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
    /** Returns the account that owns the request's bearer key, or `undefined` if the key is missing or unknown. */
    authenticateClient(request: IncomingMessage): Account | undefined;
    authenticateOperator(request: IncomingMessage): Operator | undefined;
}

/** Reads all key files. Throws a VError named `SettingsError` if one can't be read. */
export function createAccounts(settings: EntrySettings): Accounts {
    const clients = settings.accounts.map(({ keyFile, ...account }) => ({
        keyHash: hashKey(readSecret(keyFile)),
        owner: account,
    }));
    const operators = settings.operators.map(({ tokenFile, ...operator }) => ({
        keyHash: hashKey(readSecret(tokenFile)),
        owner: operator,
    }));
    return {
        authenticateClient: request => findOwner(clients, request),
        authenticateOperator: request => findOwner(operators, request),
    };
}

function findOwner<T>(owners: readonly { keyHash: Buffer; owner: T; }[], request: IncomingMessage): T | undefined {
    const key = /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1];
    if (key === undefined) return undefined;
    const keyHash = hashKey(key);
    return owners.find(owner => timingSafeEqual(owner.keyHash, keyHash))?.owner;
}

/** Hashes a key, because `timingSafeEqual` requires inputs of equal length. */
function hashKey(key: string): Buffer {
    return createHash("sha256").update(key).digest();
}
