export * from "./publish.js";
