export * from "./load.js";
export * from "./schema.js";
