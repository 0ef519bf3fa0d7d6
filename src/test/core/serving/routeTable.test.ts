import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseService, createRouteTable, RequestKind, type Route } from "../../../lib/core/serving/index.js";

const LIMITS = { maxHeaderBytes: 1024, maxBodyBytes: 1024, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };

function routeOf(prefix: string, host = "a.example"): Route {
    return {
        name: prefix,
        host,
        prefix,
        kind: RequestKind.idempotent,
        timeoutMs: 1000,
        targetMs: 100,
        rank: 0,
        services: [{ service: "s", weight: 1 }],
        maxAttempts: 2,
        isPublic: false,
        isResumable: false,
        maxEventGapMs: 100,
        allowedRegions: undefined,
    };
}

// Guards against requests that match the route of a shorter prefix or of another host.
test("a path matches the longest prefix of its host", () => {
    const routes = [routeOf("/a/"), routeOf("/a/b/"), routeOf("/a/b/c/"), routeOf("/", "b.example")];
    const table = createRouteTable({ version: 1, routes, services: [], limits: LIMITS, accounts: undefined });
    assert.equal(table.findRoute("a.example", "/a/b/x")?.prefix, "/a/b/");
    assert.equal(table.findRoute("A.EXAMPLE", "/a/b/c/")?.prefix, "/a/b/c/");
    assert.equal(table.findRoute("a.example", "/a"), undefined);
    assert.equal(table.findRoute("b.example", "/a/b/c/")?.prefix, "/");
    assert.equal(table.findRoute("c.example", "/a/"), undefined);
});

// Guards against a lookup that finds another route than the first one with the longest prefix.
test("the lookup agrees with a search of all prefixes", () => {
    const segment = fc.constantFrom("a", "b", "ab", "");
    const slashed = fc.array(segment, { maxLength: 4 }).map(segments =>
        `/${segments.map(name => `${name}/`).join("")}`
    );
    const path = fc.tuple(slashed, fc.constantFrom("", "a", "x", "ab")).map(([directory, name]) => directory + name);
    fc.assert(
        fc.property(fc.array(slashed, { maxLength: 12 }), path, (prefixes, requested) => {
            const routes = prefixes.map((prefix, index) => ({ ...routeOf(prefix), name: String(index) }));
            const table = createRouteTable({ version: 1, routes, services: [], limits: LIMITS, accounts: undefined });
            const expected = routes
                .filter(({ prefix }) => requested.startsWith(prefix))
                .toSorted((a, b) => b.prefix.length - a.prefix.length)[0];
            assert.equal(table.findRoute("a.example", requested)?.name, expected?.name);
        }),
        { seed: 1 },
    );
});

/** Longest time for which the event loop may stand still: a part of the shortest timeout for a silent server. */
const MAX_BLOCKING_MS = 250;

// Guards against a large configuration that stops the event loop for seconds, so that requests in progress time out.
test("a table of 40,000 routes is created and searched without blocking the process", () => {
    const routes = Array.from({ length: 40_000 }, (_, index) => routeOf(`/x${index % 97}/n${index}/`));
    // Processor time, because other processes may run meanwhile.
    const cpuMs = () => process.cpuUsage().user / 1000;
    const startedAt = cpuMs();
    const table = createRouteTable({ version: 1, routes, services: [], limits: LIMITS, accounts: undefined });
    const createdAt = cpuMs();
    for (let index = 0; index < 1000; index++) assert.equal(table.findRoute("a.example", "/none/x"), undefined);
    const searchedAt = cpuMs();
    assert.ok(createdAt - startedAt < MAX_BLOCKING_MS, `created in ${createdAt - startedAt} ms`);
    assert.ok(searchedAt - createdAt < MAX_BLOCKING_MS, `1,000 lookups in ${searchedAt - createdAt} ms`);
});

// Guards against requests to a service with weight 0, and against a choice outside the list.
test("a service is chosen by weight", () => {
    const weights = fc.array(fc.nat(10), { minLength: 1, maxLength: 5 });
    fc.assert(
        fc.property(weights, fc.double({ min: 0, max: 0.999999, noNaN: true }), (list, random) => {
            const services = list.map((weight, index) => ({ service: String(index), weight }));
            const chosen = chooseService(services, random);
            const total = list.reduce((sum, weight) => sum + weight, 0);
            if (total > 0) assert.ok((list[Number(chosen)] ?? 0) > 0);
        }),
        { seed: 1 },
    );
});
