import assert from "node:assert/strict";
import { test } from "node:test";
import { bindRequest, isBindingValid } from "../../lib/core/index.js";

// Guards against accepting an answer from a reloaded engine or from a different version.
test("a binding holds only for the same digest and generation", () => {
    const binding = bindRequest("d", { digest: "d", generation: 2 });
    assert.ok(binding);
    assert.ok(isBindingValid(binding, { digest: "d", generation: 2 }));
    assert.ok(!isBindingValid(binding, { digest: "d", generation: 3 }));
    assert.ok(!isBindingValid(binding, { digest: "e", generation: 2 }));
    assert.equal(bindRequest("", { digest: "", generation: 1 }), undefined);
});
