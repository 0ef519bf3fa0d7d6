export * from "./chunker.js";
export * from "./publish.js";
