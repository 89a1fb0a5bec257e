mod answers;
mod callers;
mod parsing;
mod refusals;
mod site;
