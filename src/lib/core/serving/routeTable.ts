/**
 * The operator's routing configuration with its lookups: the route of a request by host and path, and the client
 * account by API key. A table is immutable; a newer configuration creates a new one.
 */

/** Determines whether a request may be retried. A stream counts as non-idempotent unless its route is resumable. */
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
    /** Maximum time from a request's arrival to its answer. */
    readonly timeoutMs: number;
    /** Target time to the answer, or to the first event of a stream; a later one is worth less to the caller. */
    readonly targetMs: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    readonly services: readonly WeightedService[];
    /** Maximum number of backend servers to which one request may be sent. */
    readonly maxAttempts: number;
    /** Requests need no API key. */
    readonly isPublic: boolean;
    readonly isResumable: boolean;
    /** Target for the longest gap between two events of a stream. */
    readonly maxEventGapMs: number;
    /** Regions in which requests may be served; `undefined` for all. */
    readonly allowedRegions: ReadonlySet<string> | undefined;
}

/** Capacity and speed of a model engine, as declared by its service. */
export interface EngineParameters {
    /** Maximum number of concurrent requests. */
    readonly slots: number;
    /** Duration of a decode step with an empty batch. */
    readonly stepMs: number;
    /** Added to a decode step by each running request. */
    readonly stepMsPerRequest: number;
    /** Added to a decode step by each 1,000 tokens of context. */
    readonly stepMsPerKiloToken: number;
    readonly prefillTokensPerMs: number;
    /** Added to a prefill for each million pairs of a token and an earlier token (the attention cost). */
    readonly prefillMsPerMillionPairs: number;
    /** Decode steps of an iteration, which is the number of tokens in an event. */
    readonly tokensPerEvent: number;
    /** Mean length of an answer in tokens. */
    readonly meanAnswerTokens: number;
    readonly layers: number;
    readonly model: string;
    readonly chunkCount: number;
    readonly chunkBytes: number;
    /** Tokens of requests that the engine's memory holds; infinite if the configuration doesn't tell. */
    readonly memoryTokens: number;
}

/** The object server from which the pieces of new weights are fetched. */
export interface WeightOrigin {
    readonly address: string;
    readonly failureDomain: string;
    readonly maxConnections: number;
}

export interface BackendService {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one backend server accepts from all clients together. */
    readonly maxConnections: number;
    readonly engine: EngineParameters | undefined;
    readonly origin: WeightOrigin | undefined;
    /** Time after a start during which a server is cold, in milliseconds; 0 if servers are never cold. */
    readonly coldMs: number;
    /** Requests per second that a cold server tolerates; 0 if there is no limit. */
    readonly coldRequestsPerSecond: number;
}

export interface ClientAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Overrides the rank of the route. */
    readonly rank: number | undefined;
    /** Regions in which the account's requests may be served; `undefined` for all. */
    readonly allowedRegions: ReadonlySet<string> | undefined;
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
    /** If there are no accounts, requests need no API key. */
    readonly accounts: readonly ClientAccount[] | undefined;
}

export interface RouteTable {
    readonly configuration: RoutingConfiguration;
    /** Returns the route of the host with the longest prefix of the path. */
    findRoute(host: string, path: string): Route | undefined;
    /** Returns the account that the API key belongs to. */
    findAccount(key: string): ClientAccount | undefined;
    findService(name: string): BackendService | undefined;
}

export function createRouteTable(configuration: RoutingConfiguration): RouteTable {
    const routesByHost = new Map<string, HostRoutes>();
    for (const route of configuration.routes) {
        const host = route.host.toLowerCase();
        let routes = routesByHost.get(host);
        if (routes === undefined) routesByHost.set(host, routes = { byPrefix: new Map(), maxPrefixLength: 0 });
        if (!routes.byPrefix.has(route.prefix)) routes.byPrefix.set(route.prefix, route);
        routes.maxPrefixLength = Math.max(routes.maxPrefixLength, route.prefix.length);
    }
    const accountsByKey = new Map<string, ClientAccount>();
    for (const account of configuration.accounts ?? []) {
        for (const key of account.keys) accountsByKey.set(key, account);
    }
    const services = new Map(configuration.services.map(service => [service.name, service]));
    return {
        configuration,
        findRoute: (host, path) => findLongestPrefix(routesByHost.get(host.toLowerCase()), path),
        findAccount: key => accountsByKey.get(key),
        findService: name => services.get(name),
    };
}

interface HostRoutes {
    readonly byPrefix: Map<string, Route>;
    maxPrefixLength: number;
}

/** Looks up each part of the path that ends with a slash, because every prefix does, from the longest to the shortest. */
function findLongestPrefix(routes: HostRoutes | undefined, path: string): Route | undefined {
    if (routes === undefined) return undefined;
    let slash = path.lastIndexOf("/", routes.maxPrefixLength - 1);
    while (slash >= 0) {
        const route = routes.byPrefix.get(path.slice(0, slash + 1));
        if (route !== undefined) return route;
        slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1);
    }
    return undefined;
}

/**
 * Chooses a service at random in proportion to the weights. `random` is in [0, 1). Returns `undefined` for an empty
 * list.
 */
export function chooseService(services: readonly WeightedService[], random: number): string | undefined {
    const total = services.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = random * total;
    for (const { service, weight } of services) {
        remaining -= weight;
        if (remaining < 0) return service;
    }
    return services.at(-1)?.service;
}
