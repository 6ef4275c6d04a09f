#pragma once

#include <cstddef>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylink::jobs {

// A vector of a fixed size whose elements are equal at first. Only the elements that have been edited are held one by
// one, so that thousands of equal elements take hardly more memory than one. References to elements stay valid until
// the vector is assigned to or destroyed, except that edit() replaces the element that it returns.
template <typename T> class LazyVector {
public:
    // Iterates over all elements, in order.
    class Iterator {
    public:
        using iterator_category = std::input_iterator_tag;
        using value_type = T;
        using difference_type = std::ptrdiff_t;
        using pointer = const T*;
        using reference = const T&;

        Iterator(const LazyVector& vector, std::size_t index)
            : vector_(&vector)
            , index_(index)
        {
        }
        reference operator*() const { return (*vector_)[index_]; }
        pointer operator->() const { return &(*vector_)[index_]; }
        Iterator& operator++()
        {
            ++index_;
            return *this;
        }
        friend bool operator==(const Iterator& a, const Iterator& b) { return a.index_ == b.index_; }
        friend bool operator!=(const Iterator& a, const Iterator& b) { return a.index_ != b.index_; }

    private:
        const LazyVector* vector_;
        std::size_t index_;
    };

    LazyVector() = default;
    // `initial` is the value of all elements that have not been edited; it may be shared by several vectors.
    LazyVector(std::size_t size, std::shared_ptr<const T> initial)
        : size_(size)
        , initial_(std::move(initial))
    {
    }
    LazyVector(const LazyVector& other)
        : size_(other.size_)
        , initial_(other.initial_)
    {
        for (const auto& element : other.edited_)
            edited_.push_back(element ? std::make_unique<T>(*element) : nullptr);
    }
    LazyVector(LazyVector&&) noexcept = default;
    LazyVector& operator=(const LazyVector& other) { return *this = LazyVector(other); }
    LazyVector& operator=(LazyVector&&) noexcept = default;
    ~LazyVector() = default;

    std::size_t size() const { return size_; }

    // The index must be less than size().
    const T& operator[](std::size_t index) const
    {
        return edited_.empty() || !edited_[index] ? *initial_ : *edited_[index];
    }

    // Returns an element that may be changed and is held by itself from now on. Throws std::out_of_range if the index
    // is not less than size().
    T& edit(std::size_t index)
    {
        if (index >= size_)
            throw std::out_of_range("no element " + std::to_string(index) + " of " + std::to_string(size_));
        if (edited_.empty())
            edited_.resize(size_);
        if (!edited_[index])
            edited_[index] = std::make_unique<T>(*initial_);
        return *edited_[index];
    }

    Iterator begin() const { return { *this, 0 }; }
    Iterator end() const { return { *this, size_ }; }

    // By index; null for the elements that have not been edited. Empty if none has.
    const std::vector<std::unique_ptr<T>>& edited() const { return edited_; }

private:
    std::size_t size_ = 0;
    std::shared_ptr<const T> initial_;
    std::vector<std::unique_ptr<T>> edited_;
};

} // namespace rosemarylink::jobs
