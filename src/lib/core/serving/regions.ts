/**
 * Restrictions of requests to regions. The operator restricts a route or a client account where law or contract forbids
 * that a request is processed elsewhere, so a restriction is never relaxed for the sake of load: without a server in
 * the allowed regions, the request is refused.
 */

/** Regions in which a request may be served; `undefined` for all. An empty set allows none. */
export type AllowedRegions = ReadonlySet<string> | undefined;

/** Returns the regions that both restrictions allow. */
export function intersectRegions(first: AllowedRegions, second: AllowedRegions): AllowedRegions {
    if (first === undefined) return second;
    if (second === undefined) return first;
    return new Set([...first].filter(region => second.has(region)));
}

/** `region` is `undefined` for a server whose region is unknown; only unrestricted requests may use it. */
export function isAllowedIn(regions: AllowedRegions, region: string | undefined): boolean {
    return regions === undefined || region !== undefined && regions.has(region);
}
