/**
 * The operator's routing configuration and the lookups that a request needs: its route by host and path, its
 * client account by key. A table never changes; a newer configuration makes a new table.
 */

/** What may be repeated. A stream counts as non-idempotent unless its route is resumable. */
export const RequestKind = {
    idempotent: "idempotent",
    nonIdempotent: "nonIdempotent",
    stream: "stream",
} as const;

export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RequestKind;
    /** Longest time that a request may be kept waiting. */
    readonly timeoutMs: number;
    /** Time to the answer, or to the first event of a stream, that earns full credit. */
    readonly targetMs: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    readonly services: readonly WeightedService[];
    /** Most backend servers to which one request may be sent. */
    readonly maxAttempts: number;
    /** Needs no key. */
    readonly isPublic: boolean;
    readonly isResumable: boolean;
    /** Longest pause between two events of a stream that is on time. */
    readonly maxPauseMs: number;
}

/** How a model engine spends its time, as its service declares it. */
export interface EngineFigures {
    /** Requests that run at once. */
    readonly slots: number;
    /** Duration of a token step of an empty batch. */
    readonly stepMs: number;
    /** Added to a step by each running request. */
    readonly stepMsPerRequest: number;
    /** Added to a step by each 1,000 tokens of context. */
    readonly stepMsPerKiloToken: number;
    readonly readTokensPerMs: number;
    /** Added while reading, for each million pairs of a token and an earlier one. */
    readonly readMsPerMillionPairs: number;
    /** Steps of a pass, and so tokens in an event. */
    readonly stride: number;
    /** Mean length of an answer in tokens. */
    readonly usualAnswerTokens: number;
    readonly layers: number;
    readonly model: string;
    readonly chunkCount: number;
    readonly chunkBytes: number;
}

/** Where the pieces of new weights come from. */
export interface WeightOrigin {
    readonly address: string;
    readonly failureDomain: string;
    readonly maxConnections: number;
}

export interface BackendService {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one backend server accepts from all callers together. */
    readonly maxConnections: number;
    readonly engine: EngineFigures | undefined;
    readonly origin: WeightOrigin | undefined;
}

export interface ClientAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the rank of the route. */
    readonly rank: number | undefined;
}

export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface RoutingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly BackendService[];
    readonly limits: CallerLimits;
    /** Without accounts no request needs a key. */
    readonly accounts: readonly ClientAccount[] | undefined;
}

export interface RouteTable {
    readonly configuration: RoutingConfiguration;
    /** Returns the route of the host with the longest prefix that begins the path. */
    findRoute(host: string, path: string): Route | undefined;
    /** Returns the account that holds the key. */
    findAccount(key: string): ClientAccount | undefined;
    findService(name: string): BackendService | undefined;
}

export function createRouteTable(configuration: RoutingConfiguration): RouteTable {
    const byHost = new Map<string, Route[]>();
    for (const route of configuration.routes) {
        const host = route.host.toLowerCase();
        byHost.set(host, [...byHost.get(host) ?? [], route]);
    }
    for (const routes of byHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length);
    const byKey = new Map<string, ClientAccount>();
    for (const account of configuration.accounts ?? []) {
        for (const key of account.keys) byKey.set(key, account);
    }
    const services = new Map(configuration.services.map(service => [service.name, service]));
    return {
        configuration,
        findRoute: (host, path) => byHost.get(host.toLowerCase())?.find(route => path.startsWith(route.prefix)),
        findAccount: key => byKey.get(key),
        findService: name => services.get(name),
    };
}

/** Chooses a service by weight. `random` is in [0, 1). */
export function chooseService(services: readonly WeightedService[], random: number): string | undefined {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    let rest = random * total;
    for (const { service, weight } of services) {
        rest -= weight;
        if (rest < 0) return service;
    }
    return services.at(-1)?.service;
}
